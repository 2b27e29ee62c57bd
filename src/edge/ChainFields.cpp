#include "edge/ChainFields.h"

#include <cmath>

namespace crocusmount::relay {

std::string chainText(const Chain& chain)
{
    std::string text;
    for (const Hop& hop : chain.hops()) {
        text += (text.empty() ? "" : ",") + hop.backend.value() + "=" + std::to_string(hop.layers.begin) + "-"
            + std::to_string(hop.layers.end);
    }
    return text;
}

void addPredicted(const std::optional<PredictedTimes>& predicted, boost::json::object& fields)
{
    if (!predicted)
        return;
    fields["predicted_first_event_ms"] = std::lround(predicted->firstEventMs);
    fields["predicted_event_ms"] = std::lround(predicted->eventMs);
    fields["predicted_pause_ms"] = std::lround(predicted->pauseMs);
    fields["predicted_on_time"] = predicted->meetsRoute;
    fields["utilisation_percent"] = std::lround(100 * predicted->utilisation);
}

} // namespace crocusmount::relay
