#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"

#include <string>

namespace crocusmount {

/// One stage of a chain: a backend server, the layers that it runs, and the generation of the layers that it holds.
struct Hop {
    BackendId backend;
    std::string address; ///< "ip:port"
    LayerRange layers; ///< layers that the stage runs
    Generation generation; ///< generation that the server reported for these layers

    bool operator==(const Hop&) const = default;
};

} // namespace crocusmount
