#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <map>
#include <set>
#include <vector>

namespace crocusmount::relay {

/// Stages that first stages named as missing when they refused to continue a stream over them.
///
/// Load pattern: engines are lost together, and the first one that is found sends all of its streams over chains that
/// hold another one. The first stages answer within milliseconds and name it, long before a check could find it.
class NamedStages {
public:
    /// Records that a first stage refused to continue a stream and named a stage.
    void record(const BackendId& stage, const BackendId& firstStage, RequestId stream, TimePoint now);
    /// Drops the evidence that a stage is lost, because it answered a check. Streams are still not moved there for a
    /// short time: the stage may be alive and have given up the layers.
    void clearEvidence(const BackendId& stage);

    /// @return stages over which no stream is to be moved now
    std::vector<BackendId> avoided(TimePoint now) const;
    /// A single first stage may itself be cut off from a sound stage.
    /// @return whether several first stages or several streams say that a stage is missing
    bool isConfirmed(const BackendId& stage, TimePoint now) const;

private:
    struct Naming {
        TimePoint until;
        std::set<BackendId> firstStages;
        std::set<RequestId> streams;
    };

    std::map<BackendId, Naming> m_namings;
};

} // namespace crocusmount::relay
