#pragma once

#include "crocusmount/BackendReport.h"
#include "crocusmount/Hop.h"
#include "tests/fakes/VirtualClock.h"

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace crocusmount {

/// A model engine in virtual time. Each step occupies one slot; waiting steps get slots in order of arrival.
class FakeEngine {
public:
    /// How often each kind of misbehaviour is still to occur. World decrements a count with each occurrence.
    struct Faults {
        std::uint32_t refuse = 0; ///< attempts to refuse before they run
        std::uint32_t wrongTrace = 0; ///< tokens to send with the trace of another chain and a wrong text
        std::uint32_t duplicate = 0; ///< tokens to send twice
        std::uint32_t cross = 0; ///< tokens before which to send a frame that names another attempt
        std::uint32_t gap = 0; ///< tokens to omit
        std::uint32_t truncate = 0; ///< attempts to end before the last token
        std::uint32_t late = 0; ///< ended attempts after which to send their last token once more
    };

    explicit FakeEngine(BackendReport report)
        : m_report(std::move(report))
        , m_slotFree(m_report.slots)
    {
    }

    const BackendReport& report() const { return m_report; }
    BackendReport& report() { return m_report; }
    Faults& faults() { return m_faults; }

    bool alive() const { return m_alive; }
    void die() { m_alive = false; }
    /// Starts the engine again with a new generation, no running requests and every slot free.
    void revive()
    {
        m_alive = true;
        m_report.generation = Generation(m_report.generation.value() + 1);
        m_report.running = 0;
        std::fill(m_slotFree.begin(), m_slotFree.end(), TimePoint());
    }

    /// Delays steps that are begun before this time until then, and leaves probes unanswered.
    void pauseUntil(TimePoint time) { m_pausedUntil = time; }
    bool paused(TimePoint now) const { return now < m_pausedUntil; }
    /// @param factor multiplies the duration of every step
    void setSlowFactor(double factor) { m_slowFactor = factor; }
    /// Reports from now on that the engine is leaving; it keeps running.
    void leave(TimePoint now)
    {
        m_report.leaving = true;
        m_leavingSince = now;
    }
    bool leaving() const { return m_report.leaving; }
    TimePoint leavingSince() const { return m_leavingSince; }

    /// Runs one step in the slot that becomes free first.
    /// @return the time at which the step ends
    TimePoint runStep(TimePoint now)
    {
        auto slot = std::min_element(m_slotFree.begin(), m_slotFree.end());
        const TimePoint begin = std::max({ now, *slot, m_pausedUntil });
        *slot = begin + Duration(static_cast<std::int64_t>(static_cast<double>(m_report.stepMicros) * m_slowFactor));
        return *slot;
    }

    /// @return whether the engine holds exactly the hop's layers, in the hop's generation
    bool holds(const Hop& hop) const { return hop.layers == m_report.layers && hop.generation == m_report.generation; }

private:
    BackendReport m_report;
    Faults m_faults;
    std::vector<TimePoint> m_slotFree; ///< for each slot, the time from which it is free
    TimePoint m_pausedUntil;
    TimePoint m_leavingSince;
    double m_slowFactor = 1; ///< multiplies the duration of a step
    bool m_alive = true;
};

} // namespace crocusmount
