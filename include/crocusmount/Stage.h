#pragma once

#include "crocusmount/Hop.h"

#include <cstdint>

namespace crocusmount {

/// A backend server that can run one stage of a chain, with the load figures for a ChainPicker.
struct Stage {
    Hop hop; ///< the stage to use if this server is picked
    std::uint32_t index = 0; ///< index in the table of backend servers; stays valid when the configuration changes
    double streams = 0; ///< estimated open streams: an exact count of this instance's plus an average of all others'
    double reportedStreams = 0; ///< open streams according to the last report only
    double streamLimit = 1; ///< number of open streams that keep all slots busy
    double weight = 1; ///< routing weight, 0 to 1; reduced after a failure and on slow links
    bool avoid = false; ///< whether an earlier attempt of the request failed on this server
};

} // namespace crocusmount
