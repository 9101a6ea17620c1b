#pragma once

/// \file
/// \brief Tasks module: from a submitted job to tasks that run once, each in one place.
///
/// - tasks/types.h: jobs, assignments, and what targets are told and tell
/// - tasks/job_queue.h: holds jobs and hands their tasks to racks
/// - tasks/rack_controller.h: places and runs the tasks of one rack

#include "pistachio/process/tasks/job_queue.h"
#include "pistachio/process/tasks/rack_controller.h"
#include "pistachio/process/tasks/types.h"
