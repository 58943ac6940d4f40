"""The edge server: accepts callers' connections and speaks the edge protocol with them."""
