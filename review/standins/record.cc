#include "review/standins/record.h"

#include <iomanip>

namespace kingcupstair::review {
namespace {

constexpr int kTimeWidth = 8;

}  // namespace

Record::Record(const std::string& path) : file(path) {}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  this->file << std::fixed << std::setprecision(3) << std::setw(kTimeWidth)
             << this->Now() << "  " << line << std::endl;
}

double Record::Now() const {
  return std::chrono::duration<double>(Clock::now() - this->start).count();
}

}  // namespace kingcupstair::review
