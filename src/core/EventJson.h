#pragma once

#include "crocusmount/Effect.h"
#include "crocusmount/Event.h"

#include <absl/status/statusor.h>
#include <string>

/// Conversion of events and effects to JSON, one object per line, for recording and replay.
namespace crocusmount {

/// @return the event as a JSON object without line breaks: now (microseconds), entropy, type and body
std::string toJsonLine(const Event&);
/// @return the effect as a JSON object without line breaks: type and body
std::string toJsonLine(const Effect&);

/// Parses an event.
/// @param line  output of toJsonLine(const Event&)
/// @return the event, or InvalidArgument with a description of the syntax error, missing member or unknown type
absl::StatusOr<Event> eventFromJsonLine(const std::string& line);

} // namespace crocusmount
