#pragma once

/// \file
/// \brief Settings hierarchy: the documents of the root and of the teams, and the jobs of
/// operators.
///
/// - version/settings.h: subtrees of the hierarchy, their versions, resolved settings and errors
/// - version/schema.h: every key with its type, range, default and limit
/// - version/values.h: parsing and formatting of single values
/// - version/document.h: parsing of a document and validation against the schema
/// - version/job_spec.h: job specification and policy weights
/// - version/job_document.h: parsing of a job document
/// - version/hierarchy.h: combination of root and team documents, with limits and inherited values

#include "pistachio/version/document.h"
#include "pistachio/version/hierarchy.h"
#include "pistachio/version/job_document.h"
#include "pistachio/version/schema.h"
#include "pistachio/version/settings.h"
#include "pistachio/version/values.h"
