# gp_module(NAME SOURCES ... DEPENDS ... [TESTS ...] [TEST_DEPENDS ...])
#
# Declares the library of a folder and its test program: the static library
# gp_NAME (an interface library without SOURCES) and, if TESTS are given, the
# CppUTest program gp_NAME_tests.
function(gp_module NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
  if(ARG_SOURCES)
    add_library(gp_${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(gp_${NAME} PUBLIC ${ARG_DEPENDS} PRIVATE gp_warnings)
    target_include_directories(gp_${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  else()
    add_library(gp_${NAME} INTERFACE)
    target_link_libraries(gp_${NAME} INTERFACE ${ARG_DEPENDS})
    target_include_directories(gp_${NAME} INTERFACE ${PROJECT_SOURCE_DIR}/src)
  endif()
  if(ARG_TESTS AND GP_TESTS)
    add_executable(gp_${NAME}_tests ${ARG_TESTS} ${PROJECT_SOURCE_DIR}/src/testmain/testmain.cpp)
    target_link_libraries(gp_${NAME}_tests PRIVATE gp_${NAME} ${ARG_TEST_DEPENDS} gp_testing gp_warnings)
    add_test(NAME ${NAME}
      COMMAND ${PROJECT_SOURCE_DIR}/cmake/runtests ${NAME} $<TARGET_FILE:gp_${NAME}_tests>)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 240)
  endif()
endfunction()
