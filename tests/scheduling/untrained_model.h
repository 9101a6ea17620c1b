#pragma once

#include "pistachio/process/scheduling/interference_model.h"

namespace pistachio {

// Indices of the images in UntrainedModel().
constexpr ImageIndex kServing = 0;
constexpr ImageIndex kOtherServing = 1;
constexpr ImageIndex kHarmless = 2;
constexpr ImageIndex kInterfering = 3;
constexpr ImageIndex kUnseen = 4;

/// \returns an interference model that has indices for all images above and no samples.
inline InterferenceModel UntrainedModel() {
  InterferenceModel model{InterferenceSettings{}};
  for (const char* name : {"serving", "other-serving", "harmless", "interfering", "unseen"}) {
    model.IndexOf(ImageId(name));
  }
  return model;
}

}  // namespace pistachio
