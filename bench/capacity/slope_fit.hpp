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

/// Fits a line through the points (sizes[n], values[n]). Both spans must have
/// the same length, which must be at least two.
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
    double product_sum = 0;
    double square_sum = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n)
    {
        product_sum += (sizes[n] - size_mean) * (values[n] - value_mean);
        square_sum += (sizes[n] - size_mean) * (sizes[n] - size_mean);
    }
    double const slope = product_sum / square_sum;
    double const intercept = value_mean - slope * size_mean;
    double squared_deviation_sum = 0;
    for (std::size_t n = 0; n < sizes.size(); ++n)
    {
        double const deviation = values[n] - (intercept + slope * sizes[n]);
        squared_deviation_sum += deviation * deviation;
    }
    double const rms_error_percent =
        value_mean == 0
            ? 0
            : 100 * std::sqrt(squared_deviation_sum / count) / value_mean;
    return {slope, intercept, rms_error_percent};
}

} // namespace samphire::bench
