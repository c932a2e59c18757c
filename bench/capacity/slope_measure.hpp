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

/// Measures one value at several sizes and prints the slope. The smallest of
/// `repeats` results counts, since other work on the machine only adds.
template <class Measure>
void measure_slope(
    std::string_view name,
    std::string_view unit,
    std::vector<std::size_t> const& sizes,
    unsigned repeats,
    Measure measure)
{
    std::vector<double> numbers;
    std::vector<double> values;
    for (std::size_t const size : sizes)
    {
        double best = measure(size);
        for (unsigned n = 1; n < repeats; ++n)
            best = std::min(best, static_cast<double>(measure(size)));
        numbers.push_back(static_cast<double>(size));
        values.push_back(best);
    }
    slope_fit const fit = fit_slope(numbers, values);
    fmt::print(
        "slope={} value={:.5g} unit={} intercept={:.5g} sizes={} "
        "error_percent={:.2f}\n",
        name,
        fit.slope_,
        unit,
        fit.intercept_,
        fmt::join(sizes, ","),
        fit.error_percent_);
    std::fflush(stdout);
}

} // namespace samphire::bench
