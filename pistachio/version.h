#pragma once

/// \file
/// \brief Version module: what lives for one version of the settings.
///
/// - version/settings.h: subtrees, their versions and errors
/// - version/schema.h: every key with type, range, default and limit
/// - version/values.h: reading and writing of single values
/// - version/document.h: a document checked against the schema
/// - version/daemon_settings.h: the file that one daemon reads at its start
/// - version/job_document.h: a job as an operator writes it
/// - version/operator_api.h: bodies of the operators' HTTP API

#include "pistachio/version/daemon_settings.h"
#include "pistachio/version/document.h"
#include "pistachio/version/job_document.h"
#include "pistachio/version/operator_api.h"
#include "pistachio/version/schema.h"
#include "pistachio/version/settings.h"
#include "pistachio/version/values.h"
