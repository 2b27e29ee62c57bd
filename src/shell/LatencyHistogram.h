#pragma once

#include <boost/histogram.hpp>
#include <chrono>

namespace crocusmount {

/// A histogram of spans of time, 10 us to 100 s in equal steps of the logarithm.
class LatencyHistogram {
public:
    static constexpr unsigned Bins = 48;

    void observe(std::chrono::microseconds span)
    {
        const double seconds = std::max(LeastSeconds, static_cast<double>(span.count()) / 1e6);
        m_histogram(seconds);
        m_sum += seconds;
    }

    double sum() const { return m_sum; }
    /// @return samples below the first bin (-1), in a bin, or above the last (Bins)
    double count(int bin) const { return m_histogram.at(bin); }
    double upperBound(int bin) const { return m_histogram.axis().bin(bin).upper(); }

private:
    static constexpr double LeastSeconds = 1e-5;
    static constexpr double MostSeconds = 100;
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    decltype(boost::histogram::make_histogram(std::declval<Axis>())) m_histogram
        = boost::histogram::make_histogram(Axis(Bins, LeastSeconds, MostSeconds));
    double m_sum = 0;
};

} // namespace crocusmount
