#pragma once

#include "crocusmount/Configuration.h"
#include "crocusmount/ConfigurationChange.h"

#include <map>
#include <string>

namespace crocusmount {

/// The configuration in force, both as parsed objects and as JSON text for other instances.
class ConfigurationStore {
public:
    /// Applies a change. Objects that are invalid are counted and skipped.
    /// @param onlyNewer  whether to ignore a change that is not newer than the configuration in force, or whose base
    ///                   revision is higher, so that changes in between would be missing
    /// @return whether the change was applied
    bool apply(const ConfigurationChange&, bool onlyNewer);
    /// @return the changes after a revision, including deletions; the complete configuration if the revision is 0 or if
    ///         the deletions after it are no longer known
    ConfigurationChange since(Revision) const;
    /// @return the configuration in force. An object whose new value is invalid keeps its previous value until a
    ///         complete configuration is applied.
    const Configuration& parsed() const { return m_parsed; }
    /// @return number of invalid objects in all changes applied so far
    std::uint64_t rejectedObjectCount() const { return m_rejectedObjectCount; }

private:
    /// An object as it is stored.
    struct Document {
        std::string value; ///< the object as JSON; empty if it was deleted, which other instances must be told
        Revision modified; ///< revision of the last change
    };

    /// Adds, replaces or deletes one object.
    void put(const ConfigurationEntry&);
    /// Forgets the oldest deletions if there are too many.
    void trimDeletions();

    Configuration m_parsed;
    std::map<std::string, Document> m_documents; ///< by key
    std::map<Revision, std::string> m_deletions; ///< keys of deleted objects, by the revision of the deletion
    Revision m_trimmedUpTo; ///< deletions up to this revision are forgotten
    std::uint64_t m_rejectedObjectCount = 0;
};

} // namespace crocusmount
