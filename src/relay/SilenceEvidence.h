#pragma once

#include "crocusmount/Ids.h"
#include "crocusmount/Time.h"

#include <cstdint>
#include <vector>

namespace crocusmount::relay {

/// How long a stream has been without an event, compared with its usual gap.
enum class StreamSilence {
    Progressing,
    Overdue, ///< the next event is late; one healthy stream in a few is now and then
    Silent, ///< few healthy streams ever are
    LongSilent, ///< evidence enough without a second stream
};

/// An engine whose loss would explain why streams of this instance are silent.
struct SilenceSuspect {
    BackendId engine;
    std::uint32_t silentStreams = 0; ///< silent streams that it explains
    std::uint32_t overdueStreams = 0; ///< overdue streams that it explains
    std::uint32_t progressingStreams = 0; ///< streams through it that are neither
    Duration longestSilence {}; ///< of the streams that it explains
    bool isStrong = false; ///< two silent streams, four overdue ones, or a long silence
};

/// Finds the engines whose loss explains best which streams of this instance are silent.
///
/// Load pattern: several engines that share a host or a rack end without a word under hundreds of streams with up to 17
/// stages each. A check of every stage of every silent stream would be thousands of checks, most of them at sound
/// engines, and the check budget would be spent before the lost engines are reached. Most sound stages are cleared by
/// the events of other streams. Of the others, the one that most silent streams have in common comes first; the streams
/// that it explains are then left out, so that an engine that was lost with it shows, too.
class SilenceEvidence {
public:
    /// A stage of a stream that is not progressing.
    struct Stage {
        BackendId engine;
        TimePoint lastAliveAt; ///< last event of any stream through it, or sending of a check that it answered
    };

    /// @param sinceEvent  time since the stream's last event
    /// @param usualGap    the stream's mean time between two events
    static StreamSilence classify(Duration sinceEvent, Duration usualGap);

    /// Adds a stream that is not progressing.
    /// @param lastEventAt  time of its last event
    /// @param usualGap     its mean time between two events
    void addSilent(
        const std::vector<Stage>& chain, TimePoint lastEventAt, Duration usualGap, StreamSilence, TimePoint now);
    /// Adds one stage of a progressing stream.
    void addProgressing(const BackendId& engine) { m_progressing.push_back(engine); }

    bool isEmpty() const { return m_streams.empty(); }
    /// @param entropy  uniformly random; varies which of equally good explanations come first
    /// @return the engines to check, the best explanation first
    std::vector<SilenceSuspect> explain(std::uint64_t entropy) const;

private:
    struct Stream {
        std::vector<BackendId> candidates; ///< stages that may be lost, sorted
        StreamSilence silence;
        Duration sinceEvent;
    };
    struct Tally;

    std::vector<Stream> m_streams;
    std::vector<BackendId> m_progressing;
};

} // namespace crocusmount::relay
