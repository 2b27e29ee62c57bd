#pragma once

#include "crocusmount/Chain.h"
#include "relay/PredictedTimes.h"

#include <boost/json.hpp>
#include <optional>
#include <string>

/// Fields of log lines about chains.
namespace crocusmount::relay {

/// @return the chain for logs: "id=begin-end,..."
std::string chainText(const Chain&);

/// Adds the times that a chain was chosen by, in ms, if it was chosen by times.
void addPredicted(const std::optional<PredictedTimes>&, boost::json::object& fields);

} // namespace crocusmount::relay
