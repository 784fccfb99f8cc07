# Defines one library and one doctest program per part of the code.

add_library(eelgrassbridge_options INTERFACE)
target_include_directories(eelgrassbridge_options
                           INTERFACE ${CMAKE_SOURCE_DIR}/include)
target_compile_options(eelgrassbridge_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor)
if(EELGRASSBRIDGE_WERROR)
  target_compile_options(eelgrassbridge_options INTERFACE -Werror)
endif()
if(EELGRASSBRIDGE_SANITIZE)
  target_compile_options(eelgrassbridge_options INTERFACE
    -fsanitize=${EELGRASSBRIDGE_SANITIZE} -fno-omit-frame-pointer)
  target_link_options(eelgrassbridge_options INTERFACE
    -fsanitize=${EELGRASSBRIDGE_SANITIZE})
endif()
# ASIO_DISABLE_STD_ALIGNED_ALLOC: Asio uses aligned_alloc only in sources that
# include a standard library header before Asio's, so memory allocated there
# would be freed with operator delete in other sources.
# CPPHTTPLIB_*: the flags of cpp-httplib's pkg-config file, with which it
# was built; poll() lifts select()'s limit of 1,024 descriptors in the headers.
target_compile_definitions(eelgrassbridge_options INTERFACE
  SPDLOG_COMPILED_LIB SPDLOG_FMT_EXTERNAL ASIO_STANDALONE ASIO_NO_DEPRECATED
  ASIO_DISABLE_STD_ALIGNED_ALLOC
  CPPHTTPLIB_OPENSSL_SUPPORT CPPHTTPLIB_ZLIB_SUPPORT CPPHTTPLIB_BROTLI_SUPPORT)
target_link_libraries(eelgrassbridge_options INTERFACE
  Threads::Threads spdlog::spdlog ${XXHASH_LIBRARY})

# Entry point of all test programs, and their ports. Only test_main.cpp needs the
# path of the repository, so that ccache finds the other objects from any folder.
add_library(eelgrassbridge_test_main STATIC EXCLUDE_FROM_ALL
            ${CMAKE_SOURCE_DIR}/cmake/test_main.cpp
            ${CMAKE_SOURCE_DIR}/cmake/test_ports.cpp)
target_link_libraries(eelgrassbridge_test_main PUBLIC eelgrassbridge_options)
target_include_directories(eelgrassbridge_test_main
                           PUBLIC ${CMAKE_SOURCE_DIR}/cmake)
set_source_files_properties(${CMAKE_SOURCE_DIR}/cmake/test_main.cpp PROPERTIES
  COMPILE_DEFINITIONS EELGRASSBRIDGE_SOURCE_DIR="${CMAKE_SOURCE_DIR}")

# Adds a test that runs a test program, with the arguments after its name.
function(eelgrassbridge_test test program)
  add_test(NAME ${test} COMMAND ${program} ${ARGN})
  # RapidCheck reads its seed from the environment; a fixed seed makes test
  # results reproducible.
  set_tests_properties(${test} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
endfunction()

# eelgrassbridge_part(NAME [TEST_EACH_FILE] [DEPENDS part...]
#                     [LIBRARIES library...])
# Builds the sources of the folder, apart from main.cpp, into the library
# eelgrassbridge_NAME, and the files *_test.cpp into the test program NAME_test.
# With TEST_EACH_FILE, CTest runs the program once for each of these files, so
# that tests which mostly wait do so at the same time.
function(eelgrassbridge_part name)
  cmake_parse_arguments(PART "TEST_EACH_FILE" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp *.cc)
  file(GLOB tests CONFIGURE_DEPENDS *_test.cpp)
  if(tests)
    list(REMOVE_ITEM sources ${tests})
  endif()
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  set(dependencies eelgrassbridge_options ${PART_LIBRARIES})
  foreach(part ${PART_DEPENDS})
    list(APPEND dependencies eelgrassbridge_${part})
  endforeach()
  if(sources)
    add_library(eelgrassbridge_${name} STATIC ${sources})
    target_link_libraries(eelgrassbridge_${name} PUBLIC ${dependencies})
  else()
    add_library(eelgrassbridge_${name} INTERFACE)
    target_link_libraries(eelgrassbridge_${name} INTERFACE ${dependencies})
  endif()
  if(tests AND NOT EELGRASSBRIDGE_NODE_ONLY)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE eelgrassbridge_${name}
                          eelgrassbridge_test_main ${RAPIDCHECK_LIBRARY})
    set_property(GLOBAL APPEND PROPERTY EELGRASSBRIDGE_TEST_PROGRAMS
                 ${name}_test)
    if(PART_TEST_EACH_FILE)
      set(patterns)
      foreach(file ${tests})
        get_filename_component(stem ${file} NAME_WE)
        list(APPEND patterns */${stem}.cpp)
        eelgrassbridge_test(${name}_test.${stem} ${name}_test
                            --source-file=*/${stem}.cpp)
      endforeach()
      add_test(NAME ${name}_test.no_case_lost
               COMMAND ${CMAKE_SOURCE_DIR}/cmake/count_cases
                       $<TARGET_FILE:${name}_test> ${patterns})
    else()
      eelgrassbridge_test(${name}_test ${name}_test)
    endif()
  endif()
endfunction()
