#pragma once

#include <algorithm>

namespace crocusmount {

/// Bounds retries to a share of the requests, so that retries cannot amplify an outage.
class RetryBudget {
public:
    /// @param ratio  retries that each request earns
    /// @param burst  most retries that can be saved up; the budget starts full
    RetryBudget(double ratio, double burst)
        : m_ratio(ratio)
        , m_burst(burst)
        , m_saved(burst)
    {
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
    double m_saved;
};

} // namespace crocusmount
