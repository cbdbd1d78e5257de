# fescuespring_library(NAME [CORE] [DEPENDS other ...] [LINK target ...])
# A library of the folder it is called in: include/NAME, src, tests. CORE libraries hold decisions
# only and are built without exceptions and RTTI. DEPENDS names libraries of this project, public;
# LINK names outside libraries, private to src/.
function(fescuespring_library name)
    cmake_parse_arguments(ARG "CORE" "" "DEPENDS;LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
    add_library(fescuespring_${name} STATIC ${sources})
    add_library(fescuespring::${name} ALIAS fescuespring_${name})
    target_include_directories(fescuespring_${name} PUBLIC include PRIVATE src)
    target_link_libraries(fescuespring_${name} PRIVATE ${ARG_LINK})
    foreach(dependency IN LISTS ARG_DEPENDS)
        target_link_libraries(fescuespring_${name} PUBLIC fescuespring::${dependency})
    endforeach()
    if(ARG_CORE)
        target_compile_options(fescuespring_${name} PRIVATE -fno-exceptions -fno-rtti)
    endif()
    fescuespring_tests(${name} DEPENDS ${name})
endfunction()

# fescuespring_tests(NAME [DEPENDS other ...]): one CppUnit program of tests/*.cpp, run by CTest.
function(fescuespring_tests name)
    cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS tests/*.cpp)
    if(NOT sources OR NOT FESCUESPRING_TESTS)
        return()
    endif()
    add_executable(${name}_tests ${sources} ${PROJECT_SOURCE_DIR}/tests/support/main.cpp)
    target_include_directories(${name}_tests PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    set_target_properties(${name}_tests PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                          ${CMAKE_BINARY_DIR}/tests)
    target_compile_definitions(${name}_tests PRIVATE
                               TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/data"
                               PROJECT_DIR="${PROJECT_SOURCE_DIR}")
    target_link_libraries(${name}_tests PRIVATE PkgConfig::CPPUNIT)
    foreach(dependency IN LISTS ARG_DEPENDS)
        target_link_libraries(${name}_tests PRIVATE fescuespring::${dependency})
    endforeach()
    add_test(NAME ${name} COMMAND ${name}_tests)
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# fescuespring_program(NAME [DEPENDS other ...] [LINK target ...]): a program of src/*.cpp.
function(fescuespring_program name)
    cmake_parse_arguments(ARG "" "" "DEPENDS;LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARG_LINK})
    foreach(dependency IN LISTS ARG_DEPENDS)
        target_link_libraries(${name} PRIVATE fescuespring::${dependency})
    endforeach()
endfunction()
