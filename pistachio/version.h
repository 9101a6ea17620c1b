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
/// - version/hierarchy.h: root and teams together, limits and inherited values
/// - version/subtree_record.h: how the key-value service holds versions
/// - version/settings_change.h: one change, to a certain end where there is one
/// - version/spread_types.h: messages, events and actions of the spread
/// - version/version_set.h: the newest known version of every subtree
/// - version/settings_spread.h: brings accepted versions into force on one host
/// - version/operator_api.h: bodies of the operators' HTTP API

#include "pistachio/version/daemon_settings.h"
#include "pistachio/version/document.h"
#include "pistachio/version/hierarchy.h"
#include "pistachio/version/job_document.h"
#include "pistachio/version/operator_api.h"
#include "pistachio/version/schema.h"
#include "pistachio/version/settings.h"
#include "pistachio/version/settings_change.h"
#include "pistachio/version/settings_spread.h"
#include "pistachio/version/spread_types.h"
#include "pistachio/version/subtree_record.h"
#include "pistachio/version/values.h"
#include "pistachio/version/version_set.h"
