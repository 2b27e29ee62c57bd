#pragma once

#include "crocusmount/Configuration.h"
#include "crocusmount/ConfigurationChange.h"

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <string>

namespace crocusmount {

/// Adds an object to a configuration or replaces it; removes it if the value of the entry is empty.
/// @return OK, or InvalidArgument with the key of the object and its first invalid member; the configuration is then
///         unchanged
absl::Status applyEntry(const ConfigurationEntry&, Configuration&);

/// @return the object with all its members, as JSON text
std::string toJson(const Workspace&);
std::string toJson(const Pipeline&);
std::string toJson(const BackendServer&);

/// Checks a configured object that an operator wrote.
/// @param key   "workspaces/ID", "pipelines/ID" or "backends/ID"
/// @param json  the object as JSON; members that are missing get their default values
/// @return an entry whose value is the object with all its members and whose revision is 0; or InvalidArgument with the
///         key of the object and its first invalid member
absl::StatusOr<ConfigurationEntry> validatedEntry(const std::string& key, const std::string& json);

} // namespace crocusmount
