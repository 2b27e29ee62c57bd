#pragma once

#include "crocusmount/Time.h"

namespace crocusmount {

/// The rate of events over the last seconds. The weight of an event decreases exponentially with its age, so the rate
/// falls when no events come.
class EventRate {
public:
    /// Events needed before the rate counts as known. With fewer, it may be wrong by more than half.
    static constexpr int MinEvents = 5;

    /// @param span  age at which the weight of an event has fallen to 1/e
    explicit EventRate(Duration span)
        : m_span(span)
    {
    }

    /// Notes an event.
    void add(TimePoint now);
    /// @return events a second; zero before the first event
    double perSecond(TimePoint now) const;
    /// @return whether enough events came to tell the rate
    bool isKnown() const { return m_count >= MinEvents; }

private:
    /// @return the sum of the events' weights
    double weight(TimePoint now) const;

    Duration m_span;
    int m_count = 0; ///< events, up to MinEvents
    double m_weight = 0; ///< as of m_last
    TimePoint m_first; ///< first event
    TimePoint m_last; ///< latest event
};

} // namespace crocusmount
