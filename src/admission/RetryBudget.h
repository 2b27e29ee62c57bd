#pragma once

#include <algorithm>

namespace crocusmount {

/// Bounds retries to a share of the requests, so that retries cannot amplify an outage.
class RetryBudget {
public:
    /// @param ratio  retries that each request earns
    /// @param burst  most retries that can be saved up
    /// @param ripe   part of the burst that is there from the start, see ripen
    RetryBudget(double ratio, double burst, double ripe = 1)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_ripe(ripe)
        , m_saved(burst * ripe)
    {
    }

    /// Grants the burst bit by bit to a process that has just started: one that is started several times within the
    /// window over which retries are counted has no more than one that runs on.
    /// @param share  of the burst that has been granted by now, from 0 to 1
    void ripen(double share)
    {
        if (share <= m_ripe)
            return;
        m_saved = std::min(m_burst, m_saved + (share - m_ripe) * m_burst);
        m_ripe = share;
    }

    /// Changes how many retries can be saved up, as instances that share the whole come and go. What is saved stays, up
    /// to the new limit.
    void setBurst(double burst)
    {
        m_burst = burst;
        m_saved = std::min(m_saved, burst);
    }

    void earn() { m_saved = std::min(m_burst, m_saved + m_ratio); }

    /// @return whether one more retry is allowed
    bool hasOne() const { return m_saved >= 1; }
    /// @return whether one more retry is allowed; it is then spent
    bool spend()
    {
        if (m_saved < 1)
            return false;
        m_saved -= 1;
        return true;
    }

private:
    double m_ratio;
    double m_burst;
    double m_ripe;
    double m_saved;
};

} // namespace crocusmount
