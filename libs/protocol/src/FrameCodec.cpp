#include "amaranthwind/protocol/FrameCodec.h"

#include "DecodedSize.h"
#include "WireDecoder.h"
#include "WireEncoder.h"

#include <cstring>
#include <string>

namespace amaranthwind::protocol {

namespace {

constexpr std::size_t kInitialBufferBytes = 512;
constexpr unsigned kBitsPerByte = 8;

/** Encodes an envelope; the union type follows from the message's table. */
struct BodyEncoder
{
  flatbuffers::FlatBufferBuilder& builder;
  WireEncoder& encoder;

  template<typename M>
  flatbuffers::Offset<wire::Envelope> operator()(
    const M& aMessage,
    const Envelope& aEnvelope) const
  {
    return this->Finish(this->encoder(aMessage), aEnvelope);
  }

  template<typename Table>
  flatbuffers::Offset<wire::Envelope> Finish(flatbuffers::Offset<Table> aBody,
                                             const Envelope& aEnvelope) const
  {
    return wire::CreateEnvelope(this->builder,
                                aEnvelope.correlation.Get(),
                                aEnvelope.isReply,
                                wire::BodyTraits<Table>::enum_value,
                                aBody.Union());
  }
};

} // namespace

std::vector<std::byte>
EncodeFrame(const Envelope& aEnvelope)
{
  flatbuffers::FlatBufferBuilder builder(kInitialBufferBytes);
  WireEncoder encoder(builder);
  const BodyEncoder encodeBody{ builder, encoder };
  builder.Finish(std::visit(
    [&](const auto& aMessage) { return encodeBody(aMessage, aEnvelope); },
    aEnvelope.message));
  const std::size_t length = builder.GetSize();
  std::vector<std::byte> frame(kFrameHeaderBytes + length);
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame[i] = static_cast<std::byte>(length >> (i * kBitsPerByte));
  }
  std::memcpy(
    frame.data() + kFrameHeaderBytes, builder.GetBufferPointer(), length);
  return frame;
}

base::Result<std::size_t>
DecodeFrameLength(std::span<const std::byte> aHeader)
{
  if (aHeader.size() < kFrameHeaderBytes) {
    return base::Fail(base::ErrorCode::Truncated, "frame header");
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kFrameHeaderBytes; ++i) {
    length |= std::to_integer<std::size_t>(aHeader[i]) << (i * kBitsPerByte);
  }
  if (length == 0) {
    return base::Fail(base::ErrorCode::Truncated, "frame length 0");
  }
  if (length > kMaxFrameBytes) {
    return base::Fail(base::ErrorCode::TooLarge,
                      "frame length " + std::to_string(length));
  }
  return length;
}

base::Result<Envelope>
DecodeFrame(std::span<const std::byte> aFrame)
{
  flatbuffers::Verifier verifier(
    reinterpret_cast<const std::uint8_t*>(aFrame.data()), aFrame.size());
  if (!wire::VerifyEnvelopeBuffer(verifier)) {
    return base::Fail(base::ErrorCode::Malformed, "frame");
  }
  const auto& envelope = *wire::GetEnvelope(aFrame.data());
  if (EncodedListBytes(envelope) > aFrame.size()) {
    return base::Fail(base::ErrorCode::TooLarge, "lists");
  }
  BOOST_OUTCOME_TRY(auto message, DecodeBody(envelope));
  return Envelope{ CorrelationId(envelope.correlation()),
                   envelope.is_reply(),
                   std::move(message),
                   aFrame.size() };
}

} // namespace amaranthwind::protocol
