# Functions that declare the libraries, test programs, benchmarks and fuzzers of the project.

add_library(pistachio_options INTERFACE)
target_compile_options(pistachio_options INTERFACE -Wall -Wextra)
if(PISTACHIO_WERROR)
  target_compile_options(pistachio_options INTERFACE -Werror)
endif()
if(PISTACHIO_SANITIZE)
  target_compile_options(pistachio_options INTERFACE
    -fsanitize=${PISTACHIO_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer -g1)
  if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # With sanitizers, g++ mistakes the inserted checks for reads of uninitialised members.
    target_compile_options(pistachio_options INTERFACE -Wno-maybe-uninitialized)
  endif()
  target_link_options(pistachio_options INTERFACE -fsanitize=${PISTACHIO_SANITIZE})
  if(PISTACHIO_SANITIZE STREQUAL "thread")
    # The thread sanitizer does not support memory fences. Locks also protect the queues of Asio.
    target_compile_definitions(pistachio_options INTERFACE BOOST_ASIO_DISABLE_FENCED_BLOCK)
  endif()
endif()
if(PISTACHIO_FUZZ)
  target_compile_options(pistachio_options INTERFACE -fsanitize=fuzzer-no-link)
endif()

# pistachio_library(NAME DIR [DEPENDS ...]): declares the static library pistachio_NAME from every source file below DIR,
# or an interface library if there is none.
function(pistachio_library name dir)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${dir}/*.cc)
  if(NOT sources)
    add_library(pistachio_${name} INTERFACE)
    target_link_libraries(pistachio_${name} INTERFACE ${ARG_DEPENDS})
    set_property(GLOBAL APPEND PROPERTY PISTACHIO_LIBRARIES pistachio_${name})
    return()
  endif()
  add_library(pistachio_${name} STATIC ${sources})
  add_library(pistachiostall::${name} ALIAS pistachio_${name})
  set_target_properties(pistachio_${name} PROPERTIES EXPORT_NAME ${name})
  target_include_directories(pistachio_${name} PUBLIC
    $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}> $<INSTALL_INTERFACE:include>)
  target_link_libraries(pistachio_${name} PUBLIC ${ARG_DEPENDS} PRIVATE $<BUILD_INTERFACE:pistachio_options>)
  set_property(GLOBAL APPEND PROPERTY PISTACHIO_LIBRARIES pistachio_${name})
endfunction()

# Builds every test program, without benchmarks and tools.
add_custom_target(pistachio_tests)

# pistachio_test(NAME [SLOW_TAGS TAG...] [DEPENDS ...]): declares the test program test_NAME of a library from
# tests/NAME/*.cc. CTest runs the cases with each TAG beside the others, as a test of its own.
function(pistachio_test name)
  cmake_parse_arguments(ARG "" "" "SLOW_TAGS;DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(test_${name} ${sources} $<TARGET_OBJECTS:pistachio_catch_main>)
  target_include_directories(test_${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(test_${name} PRIVATE ${ARG_DEPENDS} Catch2::Catch2 rapidcheck pistachio_options)
  add_dependencies(pistachio_tests test_${name})
  set(tests ${name})
  if(ARG_SLOW_TAGS)
    set(others "~[.]")
    foreach(tag ${ARG_SLOW_TAGS})
      add_test(NAME ${name}_${tag} COMMAND test_${name} --rng-seed 1 "[${tag}]~[.]")
      list(APPEND tests ${name}_${tag})
      string(APPEND others "~[${tag}]")
    endforeach()
    add_test(NAME ${name} COMMAND test_${name} --rng-seed 1 "${others}")
  else()
    add_test(NAME ${name} COMMAND test_${name} --rng-seed 1)
  endif()
  # RapidCheck reads its seed from RC_PARAMS. A fixed seed generates the same cases in every run.
  set_tests_properties(${tests} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=100" TIMEOUT 900)
endfunction()

# pistachio_bench(NAME [DEPENDS ...]): declares the benchmark program bench_NAME from bench/NAME/*.cc.
function(pistachio_bench name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/${name}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(bench_${name} ${sources})
  target_include_directories(bench_${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(bench_${name} PRIVATE ${ARG_DEPENDS} gflags fmt::fmt pistachio_options)
endfunction()

# pistachio_fuzzer(NAME [DEPENDS ...]): declares the libFuzzer program fuzz_NAME from tests/fuzz/NAME_fuzz.cc if
# PISTACHIO_FUZZ is on.
function(pistachio_fuzzer name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  if(NOT PISTACHIO_FUZZ OR NOT EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/fuzz/${name}_fuzz.cc)
    return()
  endif()
  add_executable(fuzz_${name} fuzz/${name}_fuzz.cc)
  target_include_directories(fuzz_${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(fuzz_${name} PRIVATE ${ARG_DEPENDS} pistachio_options -fsanitize=fuzzer)
endfunction()
