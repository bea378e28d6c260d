# Helpers that keep each directory's CMakeLists.txt to a few lines.

find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options)
find_package(Protobuf REQUIRED)
find_package(nlohmann_json REQUIRED)
if(NOT CAMPHOR_PLATFORM_ONLY)
    find_package(Catch2 2 REQUIRED)
    find_package(rapidcheck REQUIRED)
    find_package(cppzmq REQUIRED)
    find_package(spdlog REQUIRED)
    find_package(yaml-cpp REQUIRED)
    find_package(OpenSSL REQUIRED)
endif()

# CivetWeb and xxHash ship no usable CMake package; they link by library name.
add_library(camphor_civetweb INTERFACE)
target_link_libraries(camphor_civetweb INTERFACE civetweb)
add_library(camphor_xxhash INTERFACE)
target_link_libraries(camphor_xxhash INTERFACE xxhash)

add_library(camphor_options INTERFACE)
target_compile_options(camphor_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow
                       -Wnon-virtual-dtor -Werror)
target_link_libraries(camphor_options INTERFACE Threads::Threads)

if(NOT CAMPHOR_PLATFORM_ONLY AND NOT TARGET camphor_catch_main)
    add_library(camphor_catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/catch_main.cpp)
    target_link_libraries(camphor_catch_main PUBLIC Catch2::Catch2 rapidcheck)
endif()

# camphor_library(NAME SOURCES ... [DEPS ...] [TESTS ...] [TEST_DEPS ...])
# Adds target camphor_NAME and, when TESTS are given, one test program and its ctest entry.
function(camphor_library name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPS;TESTS;TEST_DEPS" ${ARGN})
    add_library(camphor_${name} STATIC ${arg_SOURCES})
    target_include_directories(camphor_${name} PUBLIC include PRIVATE src)
    target_link_libraries(camphor_${name} PUBLIC ${arg_DEPS} PRIVATE camphor_options)
    if(arg_TESTS AND NOT CAMPHOR_PLATFORM_ONLY)
        camphor_test(${name} SOURCES ${arg_TESTS} DEPS camphor_${name} ${arg_TEST_DEPS})
    endif()
endfunction()

# camphor_test(NAME SOURCES ... DEPS ...): a Catch2 program test_NAME run by ctest with a fixed seed.
function(camphor_test name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(test_${name} ${arg_SOURCES})
    target_include_directories(test_${name} PRIVATE src)
    target_link_libraries(test_${name} PRIVATE ${arg_DEPS} camphor_catch_main camphor_options)
    add_test(NAME ${name} COMMAND test_${name})
    set_tests_properties(${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=5" TIMEOUT 300)
endfunction()

# camphor_program(NAME SOURCES ... DEPS ...): a program in build/bin.
function(camphor_program name)
    cmake_parse_arguments(arg "" "" "SOURCES;DEPS" ${ARGN})
    add_executable(${name} ${arg_SOURCES})
    target_link_libraries(${name} PRIVATE ${arg_DEPS} camphor_options)
endfunction()
