//! Single rules of admission.
