# Functions that define targets with the compiler flags of the project.

add_library(lovagehold_options INTERFACE)
target_include_directories(lovagehold_options INTERFACE ${CMAKE_SOURCE_DIR}/src/include ${CMAKE_SOURCE_DIR}/src)
target_compile_options(lovagehold_options INTERFACE -Wall -Wextra -Wno-missing-field-initializers)
target_compile_definitions(lovagehold_options INTERFACE
  BOOST_ERROR_CODE_HEADER_ONLY SPDLOG_FMT_EXTERNAL)
target_link_libraries(lovagehold_options INTERFACE Threads::Threads)
if(LOVAGEHOLD_SANITIZE)
  target_compile_options(lovagehold_options INTERFACE -fsanitize=${LOVAGEHOLD_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(lovagehold_options INTERFACE -fsanitize=${LOVAGEHOLD_SANITIZE})
endif()

# lovagehold_package(NAME SOURCES a.cpp ... DEPENDS x ...): adds a static library.
function(lovagehold_package name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC lovagehold_options ${ARG_DEPENDS})
endfunction()

# lovagehold_test(NAME SOURCES a_test.cpp ... DEPENDS x ...): adds a GoogleTest program and registers it with CTest.
function(lovagehold_test name)
  if(NOT LOVAGEHOLD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE lovagehold_options ${ARG_DEPENDS} GTest::gtest_main GTest::gmock rapidcheck)
  target_include_directories(${name} PRIVATE ${RAPIDCHECK_INCLUDE_DIRS})
  add_test(NAME ${name} COMMAND ${name})
  # Make glibc overwrite freed memory at once, so that a use after free crashes the test.
  set_tests_properties(${name} PROPERTIES LABELS unit
    ENVIRONMENT "GLIBC_TUNABLES=glibc.malloc.tcache_count=0:glibc.malloc.perturb=165")
endfunction()
