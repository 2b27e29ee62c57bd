#pragma once

namespace crocusmount {

/// JSON Schema of the settings file of a daemon. Keys of durations end in their unit, "Ms" or "Us".
extern const char* const settingsSchema;

} // namespace crocusmount
