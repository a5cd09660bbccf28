if(NOT JUJUBETIDE_NODE_ONLY)
    include(Catch)
endif()

add_library(jt_options INTERFACE)
target_compile_options(jt_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow)
if(JUJUBETIDE_SANITIZE)
    # GCC reports false positives in libstdc++ once the sanitizers' checks are compiled in.
    target_compile_options(jt_options INTERFACE
        $<$<CXX_COMPILER_ID:GNU>:-Wno-maybe-uninitialized>)
endif()
target_include_directories(jt_options INTERFACE
    ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
target_link_libraries(jt_options INTERFACE absl::status absl::statusor absl::strings
    absl::flat_hash_map absl::flat_hash_set absl::time)

# jt_sources(NAME FILES...): a library from some sources of a subsystem, named relative to src; the
# subsystem's own library leaves them out.
function(jt_sources name)
    list(TRANSFORM ARGN PREPEND ${PROJECT_SOURCE_DIR}/src/ OUTPUT_VARIABLE sources)
    add_library(jt_${name} STATIC ${sources})
    target_link_libraries(jt_${name} PUBLIC jt_options)
    set_property(GLOBAL APPEND PROPERTY jt_separate_sources ${sources})
endfunction()

# jt_library(NAME LIBS...): one library from every source of src/NAME but its main.cc.
function(jt_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/src/${name}/*.cc)
    list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
    get_property(separate GLOBAL PROPERTY jt_separate_sources)
    if(separate)
        list(REMOVE_ITEM sources ${separate})
    endif()
    if(sources)
        add_library(jt_${name} STATIC ${sources})
        target_link_libraries(jt_${name} PUBLIC jt_options ${ARGN})
    else()
        add_library(jt_${name} INTERFACE)
        target_link_libraries(jt_${name} INTERFACE jt_options ${ARGN})
    endif()
endfunction()

# jt_program(NAME SUBSYSTEM LIBS...): the program NAME from src/SUBSYSTEM/main.cc, where it exists.
function(jt_program name subsystem)
    if(EXISTS ${PROJECT_SOURCE_DIR}/src/${subsystem}/main.cc)
        add_executable(${name} ${PROJECT_SOURCE_DIR}/src/${subsystem}/main.cc)
        target_link_libraries(${name} PRIVATE jt_${subsystem} ${ARGN})
        set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
    endif()
endfunction()

# jt_adapter(FOLDER LIBS...): the library jt_adapter_FOLDER and the program jujubetide-node from the
# top-level folder that translates between the node and the systems around it.
function(jt_adapter folder)
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/${folder}/*.cc)
    list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
    add_library(jt_adapter_${folder} STATIC ${sources})
    target_include_directories(jt_adapter_${folder} PUBLIC ${PROJECT_SOURCE_DIR})
    target_link_libraries(jt_adapter_${folder} PUBLIC jt_options ${ARGN})
    add_executable(jujubetide-node ${PROJECT_SOURCE_DIR}/${folder}/main.cc)
    target_link_libraries(jujubetide-node PRIVATE jt_adapter_${folder})
    set_target_properties(jujubetide-node PROPERTIES
        RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

# jt_test(NAME [EXCLUSIVE] LIBS...): the test program NAME_test from every *_test.cc of tests/NAME;
# each test case is one ctest test. With EXCLUSIVE, its cases with the tag [exclusive] run alone.
function(jt_test name)
    cmake_parse_arguments(test "EXCLUSIVE" "" "" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/tests/${name}/*.cc)
    if(NOT sources)
        return()
    endif()
    add_executable(${name}_test ${sources})
    target_link_libraries(${name}_test PRIVATE jt_test_main ${test_UNPARSED_ARGUMENTS})
    if(test_EXCLUSIVE)
        catch_discover_tests(${name}_test TEST_PREFIX "${name}: " TEST_SPEC "~[exclusive]"
            PROPERTIES TIMEOUT 240)
        catch_discover_tests(${name}_test TEST_PREFIX "${name}: " TEST_SPEC "[exclusive]"
            PROPERTIES TIMEOUT 480 RUN_SERIAL TRUE)
    else()
        catch_discover_tests(${name}_test TEST_PREFIX "${name}: " PROPERTIES TIMEOUT 240)
    endif()
endfunction()

# jt_bench(NAME LIBS...): the measurement program NAME from bench/NAME.cc, where it exists.
function(jt_bench name)
    if(EXISTS ${PROJECT_SOURCE_DIR}/bench/${name}.cc)
        add_executable(${name} ${PROJECT_SOURCE_DIR}/bench/${name}.cc)
        target_link_libraries(${name} PRIVATE ${ARGN})
        set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
    endif()
endfunction()
