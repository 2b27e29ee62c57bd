#pragma once

namespace crocusmount::relay {

/// What an instance knows of what it needs to place a service's calls, from least to most.
enum class StartKnowledge {
    Nothing, ///< no configuration
    Configuration, ///< no chain of listed engines covers the model, or no server is listed, and entries may be missing
    Servers, ///< the servers, but not yet how many instances share them, or not the other instances' load on them
    Complete, ///< all that it ever knows
};

/// @return the snake_case name for logs
const char* toString(StartKnowledge);

} // namespace crocusmount::relay
