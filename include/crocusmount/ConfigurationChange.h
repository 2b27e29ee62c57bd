#pragma once

#include "crocusmount/Ids.h"

#include <string>
#include <vector>

namespace crocusmount {

/// A configured object as it is stored.
struct ConfigurationEntry {
    std::string key; ///< "workspaces/ID", "pipelines/ID" or "backends/ID"
    std::string value; ///< the object as JSON; empty if the object was deleted
    Revision modified; ///< revision of the last change of this object
};

/// The difference between two revisions of the configuration.
struct ConfigurationChange {
    Revision base; ///< the change contains all modifications after this revision; 0 for a complete configuration
    Revision revision; ///< revision of the configuration after the change
    std::vector<ConfigurationEntry> entries; ///< the modified objects
};

} // namespace crocusmount
