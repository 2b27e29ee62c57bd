#include "relay/SilenceEvidence.h"

#include "relay/ScaledDuration.h"
#include "relay/Spread.h"

#include <algorithm>
#include <map>
#include <set>

namespace crocusmount::relay {

namespace {

    /// Multiples of the usual gap after which a stream is overdue, silent and long silent. A pause of 250 ms is allowed
    /// and a check takes 80 ms, so streams with gaps of 70 ms must count before they are silent.
    constexpr double OverdueGaps = 1.5;
    constexpr double SilentGaps = 2;
    constexpr double LongSilentGaps = 3;
    /// Shortest times that count as such. The reducer runs every 20 ms.
    constexpr Duration MinOverdue = std::chrono::milliseconds(40);
    constexpr Duration MinSilent = std::chrono::milliseconds(60);
    constexpr Duration MinLongSilent = std::chrono::milliseconds(100);
    /// An event that passed a stage this long after a stream's last one, or one usual gap if that is longer, may have
    /// passed before the stage was lost.
    constexpr Duration EventTolerance = std::chrono::milliseconds(40);
    /// Evidence of one stream, in silent streams, and the sum that makes evidence strong.
    constexpr double OverdueWeight = 0.5;
    constexpr double SilentWeight = 1;
    constexpr double LongSilentWeight = 2;
    constexpr double StrongWeight = 2;
    /// Engines that explain the same streams equally well and are checked together. The others follow once these have
    /// answered, which takes a few milliseconds.
    constexpr std::size_t MaxAlternatives = 8;
    /// Engines that are suspected at a time. A rack holds a few.
    constexpr std::size_t MaxSuspects = 16;

    double weightOf(StreamSilence silence)
    {
        switch (silence) {
        case StreamSilence::Progressing:
            return 0;
        case StreamSilence::Overdue:
            return OverdueWeight;
        case StreamSilence::Silent:
            return SilentWeight;
        case StreamSilence::LongSilent:
            return LongSilentWeight;
        }
        return 0;
    }

} // namespace

/// What the streams that are not explained yet say about one engine.
struct SilenceEvidence::Tally {
    SilenceSuspect suspect;
    double weight = 0;
    double order = 0; ///< random, between equally good explanations
    std::vector<std::size_t> streams; ///< indices of the streams that the engine explains

    bool explainsMoreThan(const Tally& other) const
    {
        if (weight != other.weight)
            return weight > other.weight;
        if (suspect.progressingStreams != other.suspect.progressingStreams)
            return suspect.progressingStreams < other.suspect.progressingStreams;
        return order < other.order;
    }
};

StreamSilence SilenceEvidence::classify(Duration sinceEvent, Duration usualGap)
{
    const auto exceeds
        = [&](Duration shortest, double gaps) { return sinceEvent > std::max(shortest, scaled(usualGap, gaps)); };
    if (exceeds(MinLongSilent, LongSilentGaps))
        return StreamSilence::LongSilent;
    if (exceeds(MinSilent, SilentGaps))
        return StreamSilence::Silent;
    return exceeds(MinOverdue, OverdueGaps) ? StreamSilence::Overdue : StreamSilence::Progressing;
}

void SilenceEvidence::addSilent(
    const std::vector<Stage>& chain, TimePoint lastEventAt, Duration usualGap, StreamSilence silence, TimePoint now)
{
    const TimePoint clearedFrom = lastEventAt + std::max(EventTolerance, usualGap);
    Stream stream { {}, silence, now - lastEventAt };
    for (const Stage& stage : chain) {
        if (stage.lastAliveAt <= clearedFrom)
            stream.candidates.push_back(stage.engine);
    }
    if (!stream.candidates.empty())
        m_streams.push_back(std::move(stream));
}

std::vector<SilenceSuspect> SilenceEvidence::explain(std::uint64_t entropy) const
{
    std::vector<SilenceSuspect> suspects;
    std::vector<bool> isExplained(m_streams.size());
    while (suspects.size() < MaxSuspects) {
        std::map<BackendId, Tally> tallies;
        for (std::size_t i = 0; i < m_streams.size(); ++i) {
            if (isExplained[i])
                continue;
            for (const BackendId& engine : m_streams[i].candidates) {
                Tally& tally = tallies[engine];
                tally.streams.push_back(i);
                tally.weight += weightOf(m_streams[i].silence);
                ++(m_streams[i].silence == StreamSilence::Overdue ? tally.suspect.overdueStreams
                                                                  : tally.suspect.silentStreams);
                tally.suspect.longestSilence = std::max(tally.suspect.longestSilence, m_streams[i].sinceEvent);
            }
        }
        if (tallies.empty())
            break;
        for (const BackendId& engine : m_progressing) {
            if (const auto found = tallies.find(engine); found != tallies.end())
                ++found->second.suspect.progressingStreams;
        }
        std::vector<const Tally*> ranked;
        std::uint64_t index = 0;
        for (auto& [engine, tally] : tallies) {
            tally.suspect.engine = engine;
            tally.suspect.isStrong = tally.weight >= StrongWeight;
            tally.order = uniformFraction(entropy, ++index);
            ranked.push_back(&tally);
        }
        std::sort(ranked.begin(), ranked.end(),
            [](const Tally* left, const Tally* right) { return left->explainsMoreThan(*right); });
        const Tally& best = *ranked.front();
        std::size_t alternatives = 0;
        for (const Tally* each : ranked) {
            const bool isAlternative
                = each->streams == best.streams && each->suspect.progressingStreams == best.suspect.progressingStreams;
            if (!isAlternative || ++alternatives > MaxAlternatives || suspects.size() >= MaxSuspects)
                continue;
            suspects.push_back(each->suspect);
        }
        for (const std::size_t stream : best.streams)
            isExplained[stream] = true;
    }
    return suspects;
}

} // namespace crocusmount::relay
