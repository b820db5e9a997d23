#pragma once

#include "lovagehold/types.h"

#include <random>

namespace lovagehold {

/// One host's share of a rate that several hosts keep together without a message. Credit grows with
/// the host's part of the rate. A request is admitted with the probability min(1, credit), and that
/// much is deducted whether or not it is admitted, so that the expected sum over all hosts is the
/// rate, however many hosts there are and however few requests each of them sees. Not thread-safe.
class SharedCredit
{
public:
  /// \param rate the host's part of the rate, per second
  /// \param limit credit above which no more is accumulated; also the upper limit of \p initial
  /// \param initial credit at \p start
  SharedCredit(double rate, double limit, double initial, TimePoint start);

  /// Changes the host's part and the upper limit from \p now on.
  void configure(double rate, double limit, TimePoint now);

  /// Asks to admit one request, and deducts the probability with which it is admitted.
  /// \return whether the request is admitted
  bool take(TimePoint now, std::mt19937_64& random);

  /// \return the credit at \p now, which is never negative
  double credit(TimePoint now) const;

private:
  void refill(TimePoint now);

  double m_rate;
  double m_limit;
  double m_credit;
  TimePoint m_updated;
};

} // namespace lovagehold
