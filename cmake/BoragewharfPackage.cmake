# boragewharf_package(NAME DEPENDS ... LIBRARIES ...)
#
# Declares the static library bw_NAME from packages/NAME/src/*.cc with public
# headers under packages/NAME/include, and one test program NAME_test from
# packages/NAME/tests/*_test.cc if there are any. DEPENDS names other packages,
# LIBRARIES names external targets.
function(boragewharf_package name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  list(FILTER sources EXCLUDE REGEX "/main\\.cc$")
  add_library(bw_${name} STATIC ${sources})
  target_include_directories(bw_${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
  foreach(dependency ${ARG_DEPENDS})
    target_link_libraries(bw_${name} PUBLIC bw_${dependency})
  endforeach()
  target_link_libraries(bw_${name} PUBLIC ${ARG_LIBRARIES} Threads::Threads)

  file(GLOB tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*_test.cc)
  if(tests AND BORAGEWHARF_TESTS)
    add_executable(${name}_test ${tests})
    target_link_libraries(${name}_test PRIVATE bw_${name} GTest::gtest_main GTest::gmock)
    add_test(NAME ${name}_test COMMAND ${name}_test)
    # The random runs take 10 to 50 times as long with sanitizers; those of
    # rollout_test take about 9 minutes with the thread sanitizer on a busy
    # machine.
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 1800)
  endif()
endfunction()
