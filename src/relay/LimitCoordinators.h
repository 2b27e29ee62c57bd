#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount::relay {

/// Chooses the instance that grants the permits for a server that names a limit. Rendezvous hashing gives all instances
/// with the same list the same choice.
class LimitCoordinators {
public:
    struct Candidate {
        InstanceId id;
        std::string address; ///< of the instance for other instances; unique among the listed ones
        bool isAvailable = true; ///< neither silent nor leaving
    };

    /// Sets the listed instances, including this one.
    ///
    /// An entry that has disappeared counts for some seconds longer. During an outage of the store many entries can end
    /// at once, and instances that do not see each other would each grant the whole limit.
    void update(const std::vector<Candidate>& listed, TimePoint now);

    /// @param server  key of the server, see engineKey
    /// @return the coordinator, or nothing if no instance is available
    std::optional<InstanceId> coordinatorOf(std::uint64_t server) const;

private:
    struct Known {
        Candidate candidate;
        TimePoint lastListedAt;
    };

    std::map<InstanceId, Known> m_known;
};

} // namespace crocusmount::relay
