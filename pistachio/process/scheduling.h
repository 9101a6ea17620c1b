#pragma once

/// \file
/// \brief Umbrella header of the scheduling module: all decisions of the process that owns a cell,
/// without any input or output.
///
/// - scheduling/types.h, orders.h: submissions, targets, orders to targets and their replies
/// - scheduling/submission.h, record_codec.h: progress of submissions and their records in the
/// store
/// - scheduling/waiting_order.h, placement.h: which task is placed next, and on which target
/// - scheduling/admission.h: rejection of submissions under overload
/// - scheduling/target_health.h, straggler.h: detection of faulty targets and slow runs
/// - scheduling/interference_model.h, sharing.h: best-effort tasks on the targets of serving
///   tasks
/// - scheduling/free_slots.h, move_choice.h: which waiting submissions move to another cell
/// - scheduling/warmup.h: how fast cold targets and returning data centres get work
/// - scheduling/cell.h: the scheduler of one cell

#include "pistachio/process/scheduling/admission.h"
#include "pistachio/process/scheduling/cell.h"
#include "pistachio/process/scheduling/free_slots.h"
#include "pistachio/process/scheduling/move_choice.h"
#include "pistachio/process/scheduling/placement.h"
#include "pistachio/process/scheduling/record_codec.h"
#include "pistachio/process/scheduling/sharing.h"
#include "pistachio/process/scheduling/straggler.h"
#include "pistachio/process/scheduling/submission.h"
#include "pistachio/process/scheduling/target_health.h"
#include "pistachio/process/scheduling/waiting_order.h"
#include "pistachio/process/scheduling/warmup.h"
