#pragma once

#include "crocusmount/ReducerOptions.h"
#include "shell/HttpServer.h"

#include <absl/status/statusor.h>
#include <string>
#include <vector>

namespace crocusmount {

/// Settings that a daemon reads at its start. docs/settings.md describes every key.
struct Settings {
    ReducerOptions core;
    std::string listen; ///< "ip:port" for callers and operators
    std::string peerListen; ///< "ip:port" for other instances
    std::vector<std::string> store; ///< "ip:port" of the platform's key-value service
    std::string instanceList; ///< "ip:port" of the platform's list of instances; empty: none
    std::vector<MemberUpdate> seeds; ///< instances that are known at the start
    std::vector<std::string> operatorTokenSha256; ///< SHA-256 of accepted operator tokens, in lower-case hex
    HttpLimits http;
    std::string logFormat = "json"; ///< "json" or "text"
    std::string logLevel = "info"; ///< "debug", "info", "warn" or "error"
};

/// Reads settings from a file.
/// @param file  path of the JSON file
/// @return the settings, NotFound if the file cannot be read, or InvalidArgument with the file, the path of the invalid
///         value in the document and the expected form
absl::StatusOr<Settings> readSettings(const std::string& file);

/// Reads settings from a text.
/// @param name     name of the text in error messages, usually the file
/// @param content  the settings as JSON
/// @return the settings, or InvalidArgument as from readSettings()
absl::StatusOr<Settings> parseSettings(const std::string& name, const std::string& content);

} // namespace crocusmount
