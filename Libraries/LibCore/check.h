#pragma once

#include <cstdio>
#include <cstdlib>

/// Aborts with the failed condition when an invariant does not hold.
#define KCM_CHECK(condition)                                          \
  do {                                                                \
    if (!(condition)) {                                               \
      std::fprintf(stderr, "%s:%d: invariant failed: %s\n", __FILE__, \
                   __LINE__, #condition);                             \
      std::abort();                                                   \
    }                                                                 \
  } while (false)
