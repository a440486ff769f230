# Functions that every package uses to declare its library, tests and benchmarks.

find_package(Threads REQUIRED)
if(AMARANTHWIND_TESTS)
  find_package(doctest REQUIRED)
  include(doctest)
endif()

add_library(amaranthwind_options INTERFACE)
target_compile_features(amaranthwind_options INTERFACE cxx_std_20)
# g++ 12 reports false -Wrestrict warnings inside std::string (GCC bug 105651).
target_compile_options(amaranthwind_options INTERFACE
  $<BUILD_INTERFACE:-Wall> $<BUILD_INTERFACE:-Wextra> $<BUILD_INTERFACE:-Wshadow=local>
  $<BUILD_INTERFACE:-Wno-restrict>
  $<BUILD_INTERFACE:-Werror>)
target_link_libraries(amaranthwind_options INTERFACE Threads::Threads)
if(AMARANTHWIND_SANITIZE)
  target_compile_options(amaranthwind_options INTERFACE
    $<BUILD_INTERFACE:-fsanitize=${AMARANTHWIND_SANITIZE}>
    $<BUILD_INTERFACE:-fno-omit-frame-pointer> $<BUILD_INTERFACE:-g1>)
  target_link_options(amaranthwind_options INTERFACE
    $<BUILD_INTERFACE:-fsanitize=${AMARANTHWIND_SANITIZE}>)
endif()
install(TARGETS amaranthwind_options EXPORT amaranthwindTargets)

# amaranthwind_library(<package> [USES <package>...] [PRIVATE_LIBS <lib>...])
# Declares libs/<package>: every src/*.cpp file, the public headers in include/.
function(amaranthwind_library package)
  cmake_parse_arguments(ARG "" "" "USES;PRIVATE_LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  set(target amaranthwind_${package})
  if(sources)
    add_library(${target} STATIC ${sources})
    set(scope PUBLIC)
    target_include_directories(${target} PRIVATE src)
    target_link_libraries(${target} PRIVATE ${ARG_PRIVATE_LIBS})
  else()
    add_library(${target} INTERFACE)
    set(scope INTERFACE)
  endif()
  add_library(amaranthwind::${package} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${package})
  target_include_directories(${target} ${scope}
    $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:include>)
  target_link_libraries(${target} ${scope} amaranthwind_options)
  foreach(use ${ARG_USES})
    target_link_libraries(${target} ${scope} amaranthwind_${use})
  endforeach()
  install(TARGETS ${target} EXPORT amaranthwindTargets)
  install(DIRECTORY include/ DESTINATION include)
endfunction()

# amaranthwind_test(<package> [LIBS <lib>...])
# Builds tests/*.cpp of the package; each doctest case becomes one ctest test.
function(amaranthwind_test package)
  if(NOT AMARANTHWIND_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS tests/*.cpp)
  set(target ${package}_tests)
  add_executable(${target} ${sources} ${CMAKE_SOURCE_DIR}/cmake/TestMain.cpp)
  target_include_directories(${target} PRIVATE tests src)
  target_link_libraries(${target} PRIVATE amaranthwind_${package} doctest::doctest ${ARG_LIBS})
  doctest_discover_tests(${target} TEST_PREFIX "${package}: " PROPERTIES TIMEOUT 120)
endfunction()

# amaranthwind_benchmark(<package> <name> <source> [LIBS <lib>...])
function(amaranthwind_benchmark package name source)
  if(NOT AMARANTHWIND_BENCHMARKS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
  add_executable(${name} ${source})
  target_link_libraries(${name} PRIVATE amaranthwind_${package} ${ARG_LIBS})
endfunction()
