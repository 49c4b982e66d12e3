# Functions that define the targets of all packages with the same warnings, include paths and test settings.

# carobhall_warnings(TARGET): adds the project's warning flags.
function(carobhall_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
endfunction()

# carobhall_library(NAME DEPS ...): adds a static library from the package's src/*.cpp, with public headers in include/.
function(carobhall_library name)
    cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC include PRIVATE src)
    target_link_libraries(${name} PUBLIC ${ARG_DEPS})
    carobhall_warnings(${name})
endfunction()

# carobhall_program(NAME MAIN DEPS ...): adds a program with the single source file MAIN.
function(carobhall_program name main)
    cmake_parse_arguments(ARG "" "" "DEPS" ${ARGN})
    add_executable(${name} ${main})
    target_link_libraries(${name} PRIVATE ${ARG_DEPS})
    carobhall_warnings(${name})
endfunction()

# carobhall_test(NAME SOURCE... DEPS ... [LABELS ...] [TIMEOUT seconds]): adds a Boost.Test program and registers it with ctest.
# The default time limit is 60 s. RapidCheck runs with a fixed seed, so that results are reproducible.
function(carobhall_test name)
    if(CAROBHALL_DEPLOY_ONLY)
        return()
    endif()
    cmake_parse_arguments(ARG "" "TIMEOUT" "DEPS;LABELS" ${ARGN})
    add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
    target_link_libraries(${name} PRIVATE ${ARG_DEPS} Boost::unit_test_framework rapidcheck)
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    carobhall_warnings(${name})
    add_test(NAME ${name} COMMAND ${name})
    if(NOT ARG_TIMEOUT)
        set(ARG_TIMEOUT 60)
    endif()
    set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}" ENVIRONMENT
        "RC_PARAMS=seed=20261204;CAROBHALL_BIN=${CMAKE_RUNTIME_OUTPUT_DIRECTORY}")
endfunction()
