#include "pistachio/version/settings.h"

namespace pistachio {

std::string SettingsError::str() const {
  std::string text = this->file;
  if (this->line != 0) {
    text += ":" + std::to_string(this->line);
  }
  if (!this->key.empty()) {
    text += ": " + this->key;
  }
  text += ": " + this->problem;
  if (!this->allowed_range.empty()) {
    text += " (allowed: " + this->allowed_range + ")";
  }
  return text;
}

}  // namespace pistachio
