#include "counted_allocation.h"

#include <cstdlib>
#include <new>

std::size_t allocations = 0;

void* operator new(std::size_t size) {
  ++allocations;
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
// Without this overload, the sanitizers' version would be used, which does not
// match the operators delete below.
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  ++allocations;
  return std::malloc(size);
}
// Used for pooled entries, which are aligned to a cache line.
void* operator new(std::size_t size, std::align_val_t alignment) {
  ++allocations;
  const auto bytes = static_cast<std::size_t>(alignment);
  void* memory = std::aligned_alloc(bytes, (size + bytes - 1) / bytes * bytes);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}
void operator delete(void* memory, std::align_val_t) noexcept {
  std::free(memory);
}
void operator delete(void* memory, std::size_t, std::align_val_t) noexcept {
  std::free(memory);
}
void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
