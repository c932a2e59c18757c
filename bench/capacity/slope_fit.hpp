#pragma once

#include <cmath>
#include <cstddef>
#include <span>

namespace samphire::bench
{

/// Straight line fitted to measured points by least squares.
struct slope_fit
{
    double const slope_{};
    double const intercept_{};
    /// Root mean square deviation of the points from the line, in percent of
    /// their mean.
    double const rms_error_percent_{};

    friend bool operator==(slope_fit const&, slope_fit const&) = default;
};

/// `sizes` and `values` have the same length, at least two.
inline slope_fit
fit_slope(std::span<double const> sizes, std::span<double const> values)
{
    auto const count = static_cast<double>(sizes.size());
    double size_sum = 0;
    double value_sum = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n)
    {
        size_sum += sizes[n];
        value_sum += values[n];
    }
    double const size_mean = size_sum / count;
    double const value_mean = value_sum / count;
    double products = 0;
    double squares = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n)
    {
        products += (sizes[n] - size_mean) * (values[n] - value_mean);
        squares += (sizes[n] - size_mean) * (sizes[n] - size_mean);
    }
    double const slope = products / squares;
    double const intercept = value_mean - slope * size_mean;
    double deviations = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n)
    {
        double const deviation = values[n] - (intercept + slope * sizes[n]);
        deviations += deviation * deviation;
    }
    double const error =
        value_mean == 0 ? 0 : 100 * std::sqrt(deviations / count) / value_mean;
    return {slope, intercept, error};
}

} // namespace samphire::bench
