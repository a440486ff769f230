# Installs the libraries so that other projects can call find_package(amaranthwind).
include(CMakePackageConfigHelpers)
install(EXPORT amaranthwindTargets NAMESPACE amaranthwind:: DESTINATION lib/cmake/amaranthwind)
file(WRITE ${CMAKE_BINARY_DIR}/amaranthwindConfig.cmake.in
"@PACKAGE_INIT@
include(CMakeFindDependencyMacro)
find_dependency(Threads)
include(\${CMAKE_CURRENT_LIST_DIR}/amaranthwindTargets.cmake)
")
configure_package_config_file(${CMAKE_BINARY_DIR}/amaranthwindConfig.cmake.in
  ${CMAKE_BINARY_DIR}/amaranthwindConfig.cmake INSTALL_DESTINATION lib/cmake/amaranthwind)
write_basic_package_version_file(${CMAKE_BINARY_DIR}/amaranthwindConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_BINARY_DIR}/amaranthwindConfig.cmake
  ${CMAKE_BINARY_DIR}/amaranthwindConfigVersion.cmake DESTINATION lib/cmake/amaranthwind)
