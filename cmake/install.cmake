# Installs the libraries, their public headers and the package files for find_package(pistachiostall).
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

get_property(libraries GLOBAL PROPERTY PISTACHIO_LIBRARIES)
install(TARGETS ${libraries} EXPORT pistachiostallTargets ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(DIRECTORY pistachio DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} FILES_MATCHING PATTERN "*.h")
install(EXPORT pistachiostallTargets NAMESPACE pistachiostall::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/pistachiostall)
configure_package_config_file(cmake/pistachiostallConfig.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/pistachiostallConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/pistachiostall)
write_basic_package_version_file(${CMAKE_CURRENT_BINARY_DIR}/pistachiostallConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/pistachiostallConfig.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/pistachiostallConfigVersion.cmake
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/pistachiostall)
