#pragma once

/// \file
/// \brief Version module: what lives for one version of the settings.
///
/// - version/settings.h: subtrees, their versions and errors

#include "pistachio/version/settings.h"
