# Compiler and linker flags shared by all targets.
add_library(sycamore_options INTERFACE)
target_compile_options(sycamore_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
# Without this option GCC fuses multiplications with additions on arm64 and not on x86-64, and the same
# sources compute different results.
target_compile_options(sycamore_options INTERFACE -ffp-contract=off)
target_compile_definitions(sycamore_options INTERFACE BOOST_TEST_DYN_LINK BOOST_ASIO_NO_DEPRECATED)
# Asio allocates coroutine frames with an operator new and an operator delete of its own class. GCC 12
# reports -Wmismatched-new-delete, wrongly, where it inlines one of the two and not the other, and
# which of them it inlines depends on the architecture, the options and the size of the coroutine.
# With this definition Asio leaves frames to the global operators, so that the warning stays enabled.
target_compile_definitions(sycamore_options INTERFACE BOOST_ASIO_DISABLE_AWAITABLE_FRAME_RECYCLING)
target_link_libraries(sycamore_options INTERFACE Threads::Threads fmt::fmt)
if(SYCAMORE_TSAN)
  target_compile_options(sycamore_options INTERFACE -fsanitize=thread -Wno-tsan)
  target_link_options(sycamore_options INTERFACE -fsanitize=thread)
endif()

# sycamore_module(NAME [DEPS ...]): a static library from src/*.cpp with public headers in include/.
function(sycamore_module name)
  cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  add_library(sycamore_${name} STATIC ${sources})
  target_include_directories(sycamore_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  target_link_libraries(sycamore_${name} PUBLIC sycamore_options ${ARG_DEPS})
endfunction()

# sycamore_tests(NAME [DEPS ...] [LABELS ...] [SOURCES ...] [TIMEOUT seconds] [SERIAL]): one Boost.Test binary
# from SOURCES (default tests/*.cpp), registered with CTest under NAME. The label "concurrency" marks
# tests that also run under the thread sanitizer, "failure" those that start processes. The timeout
# defaults to 120 s. CTest runs no other test beside one with SERIAL.
function(sycamore_tests name)
  if(NOT SYCAMORE_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "SERIAL" "TIMEOUT" "DEPS;LABELS;SOURCES" ${ARGN})
  if(ARG_SOURCES)
    set(sources ${ARG_SOURCES})
  else()
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  add_executable(${name}_tests ${sources})
  target_link_libraries(${name}_tests PRIVATE sycamore_options Boost::unit_test_framework ${ARG_DEPS})
  add_test(NAME ${name} COMMAND ${name}_tests --log_level=test_suite)
  # A fixed seed makes the results of property tests reproducible.
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}"
    ENVIRONMENT "RC_PARAMS=seed=20261204 noshrink=1")
  if(ARG_SERIAL)
    set_tests_properties(${name} PROPERTIES RUN_SERIAL TRUE)
  endif()
endfunction()
