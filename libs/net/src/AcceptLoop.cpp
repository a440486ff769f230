#include "amaranthwind/net/AcceptLoop.h"

#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace amaranthwind::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds kPause{ 50 };

bool
IsShortage(const error_code& aError)
{
  return aError == asio::error::no_descriptors ||
         aError == boost::system::errc::too_many_files_open_in_system ||
         aError == asio::error::no_buffer_space ||
         aError == asio::error::no_memory;
}

} // namespace

AcceptLoop::AcceptLoop(IoPool& aPool,
                       std::unique_ptr<tcp::acceptor> aAcceptor,
                       std::weak_ptr<AcceptObserver> aObserver)
  : pool(aPool)
  , acceptor(std::move(aAcceptor))
  , pause(this->acceptor->get_executor())
  , observer(std::move(aObserver))
{
}

void
AcceptLoop::Start()
{
  this->Accept();
}

void
AcceptLoop::Stop()
{
  asio::post(this->acceptor->get_executor(), [self = this->shared_from_this()] {
    error_code ignored;
    self->acceptor->close(ignored);
    self->pause.cancel();
  });
}

void
AcceptLoop::Accept()
{
  asio::io_context& context = this->pool.Next();
  this->acceptor->async_accept(
    context,
    [self = this->shared_from_this(), &context](const error_code& aError,
                                                tcp::socket aSocket) {
      self->OnAttempt(aError, context, std::move(aSocket));
    });
}

void
AcceptLoop::OnAttempt(const error_code& aError,
                      asio::io_context& aContext,
                      tcp::socket aSocket)
{
  const auto target = this->observer.lock();
  if (aError == asio::error::operation_aborted || !this->acceptor->is_open() ||
      target == nullptr) {
    return;
  }
  if (IsShortage(aError)) {
    target->OnOutOfDescriptors();
    this->AcceptLater();
    return;
  }
  if (!aError && target->MakeRoom()) {
    target->OnAccepted(aContext, std::move(aSocket));
  }
  this->Accept();
}

void
AcceptLoop::AcceptLater()
{
  this->pause.expires_after(kPause);
  this->pause.async_wait(
    [self = this->shared_from_this()](const error_code& aError) {
      if (!aError && self->acceptor->is_open()) {
        self->Accept();
      }
    });
}

} // namespace amaranthwind::net
