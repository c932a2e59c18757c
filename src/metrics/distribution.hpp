#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstddef>

namespace samphire
{

/// Distribution of a measured value, kept in constant memory; the quantiles are
/// estimates by the P-square algorithm.
class distribution
{
public:
    distribution()
        : median_(boost::accumulators::quantile_probability = 0.5),
          p99_(boost::accumulators::quantile_probability = 0.99)
    {
    }

    void record(double value)
    {
        median_(value);
        p99_(value);
        max_and_count_(value);
    }

    double median() const
    {
        return boost::accumulators::p_square_quantile(median_);
    }

    double p99() const
    {
        return boost::accumulators::p_square_quantile(p99_);
    }

    double maximum() const
    {
        return count() == 0 ? 0.0 : boost::accumulators::max(max_and_count_);
    }

    std::size_t count() const
    {
        return boost::accumulators::count(max_and_count_);
    }

private:
    using quantile = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::p_square_quantile>>;
    using max_and_count = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<
            boost::accumulators::tag::max,
            boost::accumulators::tag::count>>;

    quantile median_;
    quantile p99_;
    max_and_count max_and_count_;
};

} // namespace samphire
