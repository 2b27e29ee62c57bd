#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/LayerRange.h"

#include <string>

namespace crocusmount {

/// The state that a backend server reports about itself. The actual state may have changed since the report.
struct BackendReport {
    BackendId backend;
    std::string model; ///< name of the model whose layers it holds
    LayerRange layers; ///< layers that it holds
    Generation generation;
    std::uint32_t slots = 1; ///< steps that it can run concurrently
    std::int64_t stepMicros = 1000; ///< duration of one step over its layers, in microseconds
    std::uint32_t running = 0; ///< open streams through this server; may exceed its slots
    bool leaving = false; ///< whether it accepts no new work because it will shut down
};

} // namespace crocusmount
