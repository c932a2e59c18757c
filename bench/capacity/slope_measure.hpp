#pragma once

#include "capacity/slope_fit.hpp"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <string_view>
#include <vector>

namespace samphire::bench
{

/// Measures a value at several sizes and prints the slope of the line fitted to
/// the values. The value of a size is the smallest of `repeats` results,
/// because other work on the machine can only increase a result.
template <class Measure>
void measure_slope(
    std::string_view name,
    std::string_view unit,
    std::vector<std::size_t> const& sizes,
    unsigned repeats,
    Measure measure)
{
    std::vector<double> size_values;
    std::vector<double> values;
    for (std::size_t const size : sizes)
    {
        double smallest = measure(size);
        for (unsigned n = 1; n < repeats; ++n)
            smallest = std::min(smallest, static_cast<double>(measure(size)));
        size_values.push_back(static_cast<double>(size));
        values.push_back(smallest);
    }
    slope_fit const fit = fit_slope(size_values, values);
    fmt::print(
        "slope={} value={:.5g} unit={} intercept={:.5g} sizes={} "
        "error_percent={:.2f}\n",
        name,
        fit.slope_,
        unit,
        fit.intercept_,
        fmt::join(sizes, ","),
        fit.rms_error_percent_);
    std::fflush(stdout);
}

} // namespace samphire::bench
