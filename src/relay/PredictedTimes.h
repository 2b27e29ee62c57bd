#pragma once

namespace crocusmount::relay {

/// What a call is expected to see of a chain, by the model of the engines.
struct PredictedTimes {
    double firstEventMs = 0; ///< from its placement to its first event
    double eventMs = 0; ///< between two events, on average
    double pauseMs = 0; ///< the longest between two events
    double utilisation = 0; ///< of the stage that has least room
    bool meetsRoute = true; ///< whether the first event and the longest pause are on time for the route
};

} // namespace crocusmount::relay
