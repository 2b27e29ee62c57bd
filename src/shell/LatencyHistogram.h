#pragma once

#include <boost/histogram.hpp>
#include <chrono>

namespace crocusmount {

/// Histogram of latencies from 10 us to 100 s, with bins of equal width on a logarithmic scale.
class LatencyHistogram {
public:
    static constexpr unsigned BinCount = 48;

    /// Adds a sample. A sample below 10 us counts as 10 us.
    void observe(std::chrono::microseconds span)
    {
        const double seconds = std::max(MinSeconds, static_cast<double>(span.count()) / 1e6);
        m_histogram(seconds);
        m_sum += seconds;
    }

    /// @return sum of all samples, in seconds
    double sum() const { return m_sum; }
    /// @param bin  index of a bin; -1: samples below the first bin; BinCount: samples above the last bin
    /// @return number of samples
    double count(int bin) const { return m_histogram.at(bin); }
    /// @return upper bound of a bin, in seconds
    double upperBound(int bin) const { return m_histogram.axis().bin(bin).upper(); }

private:
    static constexpr double MinSeconds = 1e-5;
    static constexpr double MaxSeconds = 100;
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

    decltype(boost::histogram::make_histogram(std::declval<Axis>())) m_histogram
        = boost::histogram::make_histogram(Axis(BinCount, MinSeconds, MaxSeconds));
    double m_sum = 0; ///< in seconds
};

} // namespace crocusmount
